"""The PostgreSQL protocol: message codec, types, errors, COPY formats, and the server side."""
