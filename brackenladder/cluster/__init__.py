"""The nodes among themselves: who is there. Pure: time, random numbers and datagrams come in as arguments."""
