# One group of one member that costs nothing, to measure the proxy itself.
site_environment=production
site_zones=(bench-a)
site_groups=(bench1)
site_members=1
site_slots=32
site_connections=36
site_member_connections=200  # the load also connects past the proxy
site_connect_ms=0
site_service_us=0
site_lag_ms=0
