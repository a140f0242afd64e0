"""How long the platform's dispatcher waits for its peers, each time with what it is derived from; microseconds."""

from __future__ import annotations

# Clients. A bad one is owed an error or a close within 3 s of connecting.
SILENT_CLIENT_US = 2_000_000  # a connection that has brought nothing, and a request that does not come to its end
STALLED_CLIENT_US = 10_000_000  # one that takes nothing of its stream
IDLE_CLIENT_US = 60_000_000  # a kept connection, as long as there is room for it

# Model hosts. The head of an answer and its first event come together with the first token.
HEAD_US = 500_000  # from a head's first byte to its last
OPENING_US = 500_000  # from the head to the end of the first event
SILENT_STREAM_US = 4_500_000  # a stream that brings nothing; its client waits 5 s at most
IDLE_PART = 0.6  # of the time after which a host closes an idle connection, it is used
PLACE_US = 1_000_000  # a writer that does not know whether it holds a place says so after 0.3 s
FREE_US = 70_000  # one host to hear of a release: the rule's 300 ms leave time for a few
FREE_FIRST_US = 50_000  # a new attempt for a release of its request that is under way

# Discovery. What it has to tell counts as told two seconds after a wait is over, whether it came or not.
WATCH_US = 5_000_000  # an agent that fell silent is found out so much later at most,
SILENT_AGENT_US = 500_000  # and so much more
AGENT_PAUSE_US = 100_000  # before a failed call is made again: a watch may not pause for over 0.2 s
FIRST_LIST_US = 1_000_000  # "up" waits for its first answer, since what is known at the start may be old
