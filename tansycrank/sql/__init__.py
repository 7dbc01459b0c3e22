"""SQL planner: turns statements into shard statements and a merge plan, or rejects them. No I/O."""
