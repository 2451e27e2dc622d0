"""The front node in service: RTSP towards viewers, the binary form towards media servers, the bulletin's list."""
