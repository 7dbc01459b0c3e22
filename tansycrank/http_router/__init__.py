"""The operators' platform: HTTP/1.1 clients in, framed calls to data nodes out, discovery by
HTTP.
"""
