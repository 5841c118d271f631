"""The peer protocol: membership, gossip and distribution of configuration among daemons."""
