"""The servers: lists of them, what each takes, what is kept open to them."""
