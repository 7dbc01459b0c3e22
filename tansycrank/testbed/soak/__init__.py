"""A randomized soak of the platform's router: real processes on loopback, overlapping faults, an
oracle.

`plan` draws a site and its faults from a seed, `fleet` starts the processes and carries the faults
out, `node`, `discovery` and `clients` are the stand-ins, `oracle` judges what they recorded.
"""
