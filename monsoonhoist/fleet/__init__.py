"""The instances of a deployment: membership, cells, watchers and connections opened ahead."""
