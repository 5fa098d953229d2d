"""HTTP/1.1 over asyncio, with `h11` as the parser; holds no policy."""
