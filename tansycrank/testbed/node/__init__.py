"""A stand-in data node: `python -m tansycrank.testbed.node SPEC` with SPEC in JSON. Loopback only.

It speaks the PostgreSQL protocol, runs real SQL on the engine, behaves as the reference model says,
and records each message of its sockets in a journal (JSON lines) that checkers read. Faults are set
over a control connection.
"""
