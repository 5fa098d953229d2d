"""What the scripts of the review share: a deployment, clients and servers."""
