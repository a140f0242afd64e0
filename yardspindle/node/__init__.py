"""The node program: a dispatcher (a router process) that speaks the protocol of the operators' platform.

It runs the edge core (the state machine of requests) and the policy (the choice of servers) in one process.
"""
