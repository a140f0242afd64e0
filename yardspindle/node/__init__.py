"""The node program: a dispatcher that speaks the platform's protocol, with edge core and policy in one process."""
