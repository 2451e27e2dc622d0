"""Stand-ins for what a front meets: media servers, the server list, viewers, and what goes wrong with them."""
