"""A seeded fuzzer of both routers: hostile input beside usual clients on real processes."""
