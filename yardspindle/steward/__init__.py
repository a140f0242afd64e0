"""The steward: runs duties, the background tasks of the whole fleet that have one owner at a time.

It serves no client requests.
"""
