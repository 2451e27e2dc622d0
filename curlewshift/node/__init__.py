"""The front node: RTSP towards viewers, the binary protocol towards media servers, and the server list from discovery."""
