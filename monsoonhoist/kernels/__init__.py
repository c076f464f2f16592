"""Assembly of the entry's and the owner's kernel, and the replay of their traces."""
