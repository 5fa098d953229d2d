"""Settings of the nodes that tests start in their own process."""

from savorylift.front.settings import FrontSettings


def make_node_settings(
    vm: str,
    store: str,
    listen: tuple[str, str, str],
    peer_port: int,
    metrics_port: int,
) -> FrontSettings:
    """Returns the settings of a node without seeds.

    Args:
        vm: Name of its VM.
        store: Address of the store.
        listen: Addresses for callers, the directory and readiness.
        peer_port: Port for messages between nodes.
        metrics_port: Port of metrics and status.
    """
    caller, directory, ready = listen
    return FrontSettings(
        vm=vm,
        region="r",
        failure_domain="z0",
        caller_listen=caller,
        directory_listen=directory,
        readiness_listen=ready,
        peer_port=peer_port,
        metrics_port=metrics_port,
        store=store,
        seeds=(),
        grace_period_s=2.0,
        retry_ratio=0.2,
        retry_window_s=10.0,
        retry_slack=20.0,
        entry_ttl_max_s=5.0,
    )
