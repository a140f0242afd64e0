"""A streamed answer with the official client: python examples/chat.py http://127.0.0.1:PORT/v1."""

import sys

import openai

client = openai.OpenAI(base_url=sys.argv[1], api_key="none-needed")
stream = client.chat.completions.create(
    model="yardspindle-demo",
    stream=True,
    max_tokens=20,
    messages=[
        {"role": "system", "content": "You answer questions about heating oil."},
        {"role": "user", "content": "When does the new price start?"},
    ],
    metadata={"class": "chat", "session": "example"},
)
for chunk in stream:
    print(chunk.choices[0].delta.content or "", end="", flush=True)
print()
