"""A fake node that answers all requests with the same bytes."""

import contextlib
import socket
import threading


class AnsweringNode:
    """Closes its connection after each answer.

    Attributes:
        url: Its base URL.
        answer: What it sends.
    """

    def __init__(self) -> None:
        """Begins to listen on loopback."""
        self.answer = b""
        self._server = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self._server.getsockname()[1]}"
        threading.Thread(target=self._run, daemon=True).start()

    def close(self) -> None:
        """Stops listening."""
        with contextlib.suppress(OSError):
            self._server.shutdown(socket.SHUT_RDWR)
        self._server.close()

    def _run(self) -> None:
        while True:
            try:
                sock, _ = self._server.accept()
            except OSError:
                return
            with sock:
                sock.recv(65_536)
                sock.sendall(self.answer)
