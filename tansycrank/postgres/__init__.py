"""PostgreSQL protocol: message codec, data types, errors, COPY formats and server side."""
