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

# Model hosts. The head of an answer and its first event arrive together with the first token.
RESPONSE_HEAD_US = 500_000  # from the first byte of a head to its last
RESPONSE_BODY_US = 500_000  # from the head of a short complete answer to its end
FIRST_EVENT_US = 500_000  # from the head to the end of the first event
STREAM_IDLE_US = 4_500_000  # for a stream that brings nothing of its answer; its client waits 5 s at most
# How long complete events wait in an HTTP chunk that stays incomplete, before they are passed on without the rest of
# the chunk. An event is late if the client gets it more than 0.3 s after the host wrote it. The first event waits
# longer than later ones: once it is passed on, the request cannot be retried at another host.
PARTIAL_EVENT_US = 100_000
FIRST_PARTIAL_EVENT_US = 200_000
# At shutdown, a stream that its client can resume is cut. Before that, the task that relays it gets up to FINAL_POLLS
# turns of the event loop to pass on what has arrived from the host; a client that reads nothing is not waited for any
# longer. FINAL_POLL_US, one turn, is also the wait until a stream with unread data is checked for idleness again.
FINAL_POLL_US = 1_000
FINAL_POLLS = 20
IDLE_REUSE_FRACTION = 0.6  # of the time after which a host closes an idle connection, it is reused
# How long a host's connection rests after an answer before it is used again: a faulty host may send an answer twice,
# some ms apart, and the second copy must not be taken for the answer to the next request.
REUSE_PAUSE_US = 20_000
NEVER_REUSE_US = 1 << 60  # as such a rest: a new connection is made
# For a call that reserves a place (memory at a writer, a host that runs the decode). A writer that does not know
# whether it holds the place says so only after 0.3 s.
RESERVE_PLACE_US = 1_000_000
RELEASE_CALL_US = 70_000  # for one host to confirm a release: the rule's 300 ms leave time for a few
# For the whole release call at a host that is slow to accept it, while other hosts are asked as well: a release that is
# confirmed only after the rule's time is useless.
LATE_RELEASE_CALL_US = 600_000
# For a release call to get a file descriptor if none is free. Less than RELEASE_CALL_US, so that a lack of descriptors
# is recognized before the host counts as slow.
RELEASE_DESCRIPTOR_US = 60_000
RELEASE_POLL_US = 2_000  # how often an attempt checks whether all releases of its request are confirmed
# For a new connection to get a file descriptor, if no host holds anything for the request; if one does, the wait is
# limited like connecting. Running calls end and free descriptors, and the lack of them is not the host's fault.
DESCRIPTOR_WAIT_US = 1_000_000
DESCRIPTOR_RETRY_PAUSE_US = 5_000  # between tries to get a descriptor: short against all waits for one

# Discovery. A watch is a call that the agent answers at the next change of the list, or after WATCH_WAIT_US. The
# platform expects the router to follow a change from a fixed time on: if a watch became unresponsive and missed it,
# LIST_UPDATE_LIMIT_US after the change, or 2 s after the end of the watch's wait if that is later; in any other
# failure, LIST_UPDATE_LIMIT_US after the moment from which the agent had the change and could be reached.
#
# A call that is late is followed by another one, and its own answer is waited for until ANSWER_LIMIT_US: an agent may
# be slow. The calls that are waited for begin at most CALL_SPACING_US apart, so a change is told by a call that begins
# so long after it, and an answer may take the rest: LIST_UPDATE_LIMIT_US - CALL_SPACING_US, 5.1 s. A call is late
# AGENT_RESPONSE_US + LIST_BODY_US after its begin at most, a watch of a slow agent SLOW_WATCH_WAIT_US +
# AGENT_RESPONSE_US, and the next call begins AGENT_RETRY_PAUSE_US later: 0.72 s and 0.87 s of the spacing.
#
# For an agent that was down, a change counts from its return: the last call that it left unanswered is late at most
# AGENT_RESPONSE_US later, and the next is made AGENT_RETRY_PAUSE_US after that, 0.22 s in all. The shortest known grace
# period of a drain (in which requests may still be sent to the host) is 0.25 s, so the agent has 0.03 s to answer that
# call. These short times cost little: calls are cheap for an agent, and it answers at once.
LIST_UPDATE_LIMIT_US = 6_000_000
WATCH_WAIT_US = 1_000_000
SLOW_WATCH_WAIT_US = 650_000  # of an agent whose last answer was late: the next call begins within CALL_SPACING_US
POLL_WAIT_US = 1_000  # of a call for changes that is to be answered at once
AGENT_RESPONSE_US = 200_000  # from a call's begin, or the end of its wait, to the head of its answer, or it is late
LIST_BODY_US = 500_000  # from that head to the end of the answer, or the call is late
ANSWER_LIMIT_US = LIST_UPDATE_LIMIT_US  # from a call's begin, or the end of its wait, to the end of the answer
CALL_SPACING_US = 900_000  # between the begins of calls whose answers are waited for
MAX_LATE_CALLS = 12  # whose answers are waited for at the same time: ANSWER_LIMIT_US in steps of 0.52 s
SHORT_ANSWER_US = 2_500_000  # twice as long is well within LIST_UPDATE_LIMIT_US
LIST_SLICE_US = 5_000  # an answer that arrives fast is read for so long before other tasks run
AGENT_RETRY_PAUSE_US = 20_000  # before the second and later retries of a call; the first retry is immediate
# Answers that are readable but doubtful. A complete list without hosts takes effect once it was reported for
# EMPTY_LIST_US. If it comes after the agent was unresponsive, that takes WATCH_WAIT_US + AGENT_RESPONSE_US until the
# watch is late, AGENT_RESPONSE_US + LIST_BODY_US for the first empty list, EMPTY_LIST_US + LIST_RECHECK_PAUSE_US, and
# AGENT_RESPONSE_US + LIST_BODY_US for the last: 5.7 s of the 6 s of LIST_UPDATE_LIMIT_US. A new agent address, read
# from the configuration on SIGHUP, must be in use AGENT_MOVE_LIMIT_US later. An agent there whose list has a lower
# revision than the list in force may only lag, so its list is not accepted until AGENT_MOVE_WAIT_US after the SIGHUP;
# one more call then still fits into the limit if its answer takes MOVED_ANSWER_US. The drains in such a list take
# effect at once.
LIST_RECHECK_PAUSE_US = 100_000  # before the complete list is requested again; the first time it is requested at once
EMPTY_LIST_US = 3_000_000
AGENT_MOVE_LIMIT_US = 4_000_000
MOVED_ANSWER_US = 2_200_000
AGENT_MOVE_WAIT_US = AGENT_MOVE_LIMIT_US - LIST_RECHECK_PAUSE_US - MOVED_ANSWER_US

# The first list. A process has to follow the agent's list from its first moment, so it reports ready ("up") only when
# it has that list. But the platform requires nine in ten restarted processes to be ready within READY_LIMIT_US (in its
# longer runs within 10 s), even if the agent is unresponsive throughout; then the last known list takes effect and the
# calls above go on: what the agent has on its return takes effect 0.25 s later, as after any outage. A longer wait is
# safer for lists, a shorter one better for clients: all of READY_LIMIT_US that is left is used.
READY_LIMIT_US = 6_000_000  # from a process's start
# Part of READY_LIMIT_US until the first call to the agent: until Node.start a process takes 0.36 s of processor time,
# about 1 s on a slow part of a core.
STARTUP_US = 1_000_000
READY_MARGIN_US = 750_000  # part of it for a slower start, and until a front end that polls has noticed
FIRST_LIST_US = READY_LIMIT_US - STARTUP_US - READY_MARGIN_US
