"""How long the platform's dispatcher waits for its peers, each time with what it is derived from; microseconds."""

from __future__ import annotations

# Clients. A bad one is owed an error or a close within 3 s of connecting.
CLIENT_REQUEST_US = 2_000_000  # a connection that has brought nothing, and a request that does not come to its end
STALLED_CLIENT_US = 10_000_000  # one that takes nothing of its stream
IDLE_CLIENT_US = 60_000_000  # a kept connection, as long as there is room for it
CLOSE_POLL_US = 1_000  # for the task that watches a client to read what has come of it: a turn of the loop
CLOSE_POLLS = 3  # as it may be a turn late; one that has sent so much ahead that it is read no more is not waited for

# Model hosts. The head of an answer and its first event come together with the first token.
RESPONSE_HEAD_US = 500_000  # from a head's first byte to its last
RESPONSE_BODY_US = 500_000  # from the head of a small whole answer to its end
FIRST_EVENT_US = 500_000  # from the head to the end of the first event
STREAM_IDLE_US = 4_500_000  # a stream that brings nothing; its client waits 5 s at most
PARTIAL_EVENT_US = (
    100_000  # whole events in a chunk that does not get whole; 0.3 s after they were written they are late
)
FIRST_PARTIAL_EVENT_US = 200_000  # the first of them, after which nobody else can serve: what the rule leaves but 0.1 s
FINAL_POLL_US = 1_000  # for the task of a stream to read what has come of it: a turn of the loop
FINAL_POLLS = 20  # a client that takes nothing is not waited for any longer
IDLE_REUSE_FRACTION = 0.6  # of the time after which a host closes an idle connection, it is used
REUSE_PAUSE_US = 20_000  # after an answer, before a request: it may come twice, the second time some ms late
RESERVE_PLACE_US = 1_000_000  # a writer that does not know whether it holds a place says so after 0.3 s
RELEASE_CALL_US = 70_000  # one host to hear of a release: the rule's 300 ms leave time for a few
LATE_RELEASE_CALL_US = (
    600_000  # a host that is slow to accept, while others are asked: past the rule's time it is of no use
)
RELEASE_DESCRIPTOR_US = 60_000  # of it for a descriptor, where none is left: what failed is known before the time is up
RELEASE_POLL_US = 2_000  # how often an attempt looks whether all releases of its request are heard
DESCRIPTOR_WAIT_US = (
    1_000_000  # for a descriptor where nothing is held meanwhile: what runs ends, and no host is to blame
)
DESCRIPTOR_RETRY_PAUSE_US = (
    5_000  # until a descriptor is tried for again: a tenth of the shortest time for a whole call
)

# Discovery. What a watch that fell silent misses counts as told 6 s after that, or 2 s after the wait of the call is
# over, whichever is later; whatever fails, a change counts 6 s after discovery had it and could be reached. Silence
# that begins just after a call leaves the least time: it is found out after the wait and the silence. Each call after
# that has to connect, be answered and be read, and the first of them may be spoilt in the longest way there is, an
# answer that never ends: 1.0 + 0.2 + (0.2 + 2.0) + 0.02 + (0.2 + 2.0) = 5.62 s, the last of them for an answer that
# comes in single bytes. What an agent that was down has counts from its return: the call that it swallowed last is
# given up 0.2 s later at most, the next is made 0.02 s after that, and 0.03 s for its answer are left of the shortest
# grace of a drain that is known, 0.25 s. Asking costs an agent nothing, and it answers at once.
LIST_UPDATE_LIMIT_US = 6_000_000
WATCH_WAIT_US = 1_000_000
AGENT_RESPONSE_US = 200_000  # nothing comes of a call, connecting included, after its wait
LIST_CHUNK_US = 500_000  # from one piece of an answer's body to the next
LIST_BODY_US = 2_000_000  # from an answer's head to its end, as long as pieces come
LIST_SLICE_US = 5_000  # an answer that comes fast is read for so long before other tasks have their turn
AGENT_RETRY_PAUSE_US = 20_000  # before a call that failed twice is made again; the first time it is made at once
# An answer that can be read and is not believed. A whole list with no host holds once it was told for EMPTY_US: found
# after a silence, 1.0 + 0.2 + (0.2 + 0.5) + 3.0 + 0.1 + (0.2 + 0.5) = 5.7 s of the 6. A move counts 4 s after SIGHUP,
# so a lower revision at the new address is taken while there is time for one more call, however slow; the drains in it
# hold at once.
LIST_RECHECK_PAUSE_US = 100_000  # before the whole list is asked for once more; the first time it is asked for at once
EMPTY_LIST_US = 3_000_000
AGENT_MOVE_LIMIT_US = 4_000_000
AGENT_MOVE_WAIT_US = AGENT_MOVE_LIMIT_US - LIST_RECHECK_PAUSE_US - AGENT_RESPONSE_US - LIST_BODY_US

# The first list. What the agent has counts as told from a process's first moment, so "up" waits for it. But nine in
# ten restarted processes have to be ready in 6 s on short days (in 10 s on others), also when the agent is silent all
# the while; then the list that was known is in force, and the calls above go on: what the agent has on its return is
# in force 0.25 s later, as after any silence. Longer is safer for lists, shorter for clients: all is waited that the
# 6 s leave. Until Node.start a process takes 0.36 s of processor time, on a slow part of a core about 1 s.
READY_LIMIT_US = 6_000_000  # from a process's start
STARTUP_US = 1_000_000  # of it until the first call to the agent
READY_MARGIN_US = (
    750_000  # of it for a start that is slower still, and until a front that looks now and then has seen it
)
FIRST_LIST_US = READY_LIMIT_US - STARTUP_US - READY_MARGIN_US
