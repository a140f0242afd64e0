"""Time-outs of the node program towards its peers, each with the reason for its value; in microseconds.

The node program is the dispatcher (router process) that speaks the platform's protocol. Its peers are clients, model
hosts and discovery: an agent that reports the list of hosts. Where a comment speaks of the rule, it is the platform's
time limit for using or releasing what model hosts hold for a request.
"""

from __future__ import annotations

# Clients. A misbehaving one must get an error or a close within 3 s of connecting.
CLIENT_REQUEST_US = 2_000_000  # for a connection's first byte, and for a request to be complete
STALLED_CLIENT_US = 10_000_000  # for a client that reads nothing of its stream
IDLE_CLIENT_US = 60_000_000  # for an idle connection, as long as there is room for it
CLOSE_POLL_US = 1_000  # for the task that watches a client to read what has arrived: one turn of the loop
CLOSE_POLLS = 3  # as it may be a turn late; a client that sent so much ahead that reading stopped is not waited for

# Model hosts. The head of an answer and its first event arrive together with the first token.
RESPONSE_HEAD_US = 500_000  # from the first byte of a head to its last
RESPONSE_BODY_US = 500_000  # from the head of a short complete answer to its end
FIRST_EVENT_US = 500_000  # from the head to the end of the first event
STREAM_IDLE_US = 4_500_000  # for a stream that brings nothing; its client waits 5 s at most
PARTIAL_EVENT_US = 100_000  # complete events in a chunk that stays incomplete; 0.3 s after being written they are late
FIRST_PARTIAL_EVENT_US = 200_000  # the same for the first event, after which no retry is possible: 0.1 s less than that
FINAL_POLL_US = 1_000  # for a stream's task to read what has arrived: one turn of the loop
FINAL_POLLS = 20  # a client that reads nothing is not waited for any longer
IDLE_REUSE_FRACTION = 0.6  # of the time after which a host closes an idle connection, it is reused
REUSE_PAUSE_US = 20_000  # after an answer, before the next request: an answer may arrive twice, some ms apart
RESERVE_PLACE_US = 1_000_000  # a writer that does not know whether it holds a place says so after 0.3 s
RELEASE_CALL_US = 70_000  # for one host to confirm a release: the rule's 300 ms leave time for a few
LATE_RELEASE_CALL_US = 600_000  # for a host slow to accept while others are asked: useless after the rule's time
RELEASE_DESCRIPTOR_US = 60_000  # of it to get a file descriptor if none is free: that failure is known before the limit
RELEASE_POLL_US = 2_000  # how often an attempt checks whether all releases of its request are confirmed
DESCRIPTOR_WAIT_US = 1_000_000  # for a descriptor while nothing is held: running calls end, and no host is to blame
DESCRIPTOR_RETRY_PAUSE_US = 5_000  # between tries to get a descriptor: a tenth of the shortest time for a whole call

# Discovery. A change missed by a watch that became unresponsive counts as announced 6 s after it, or 2 s after the wait
# of the call if that is later; in any other failure, 6 s after discovery had it and could be reached. The least time is
# left when the agent stops responding just after a call: that is detected after the wait and AGENT_RESPONSE_US. Each
# call after that has to connect, be answered and be read, and the first of them may be corrupted in the slowest way, by
# an answer that never ends: 1.0 + 0.2 + (0.2 + 2.0) + 0.02 + (0.2 + 2.0) = 5.62 s, the last of them for an answer that
# arrives in single bytes. For an agent that was down, a change counts from its return: the call that it swallowed last
# is abandoned 0.2 s later at most, the next is made 0.02 s after that, and 0.03 s are left for its answer of the
# shortest known grace period of a drain, 0.25 s. Calls are cheap for an agent, and it answers at once.
LIST_UPDATE_LIMIT_US = 6_000_000
WATCH_WAIT_US = 1_000_000
AGENT_RESPONSE_US = 200_000  # for a call to bring something after its wait, connecting included
LIST_CHUNK_US = 500_000  # from one piece of an answer's body to the next
LIST_BODY_US = 2_000_000  # from an answer's head to its end, as long as pieces arrive
LIST_SLICE_US = 5_000  # an answer that arrives fast is read for so long before other tasks run
AGENT_RETRY_PAUSE_US = 20_000  # before the second and later retries of a call; the first retry is immediate
# Answers that are readable but doubtful. A complete list without hosts takes effect once it was reported for
# EMPTY_LIST_US: if that starts after a silence, 1.0 + 0.2 + (0.2 + 0.5) + 3.0 + 0.1 + (0.2 + 0.5) = 5.7 s of the 6. A
# new agent address counts 4 s after SIGHUP, so a lower revision at it is accepted while there is time for one more
# call, however slow; the drains in it take effect at once.
LIST_RECHECK_PAUSE_US = 100_000  # before the complete list is requested again; the first time it is requested at once
EMPTY_LIST_US = 3_000_000
AGENT_MOVE_LIMIT_US = 4_000_000
AGENT_MOVE_WAIT_US = AGENT_MOVE_LIMIT_US - LIST_RECHECK_PAUSE_US - AGENT_RESPONSE_US - LIST_BODY_US

# The first list. What the agent has counts as announced from a process's first moment, so "up" waits for it. But nine
# in ten restarted processes must be ready within 6 s on short days (test runs; 10 s on others), even if the agent is
# unresponsive throughout; then the last known list takes effect and the calls above go on: what the agent has on its
# return takes effect 0.25 s later, as after any silence. A longer wait is safer for lists, a shorter one better for
# clients: all that the 6 s leave is used. Until Node.start a process takes 0.36 s of processor time, about 1 s on a
# slow part of a core.
READY_LIMIT_US = 6_000_000  # from a process's start
STARTUP_US = 1_000_000  # of it until the first call to the agent
READY_MARGIN_US = 750_000  # of it for a slower start, and until a front end that polls from time to time has noticed
FIRST_LIST_US = READY_LIMIT_US - STARTUP_US - READY_MARGIN_US
