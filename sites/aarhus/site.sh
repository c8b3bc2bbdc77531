# Parameters of the site; read by scripts/site.
site_environment=production
site_zones=(jylland-a jylland-b jylland-c)
site_groups=(frame1 frame2 frame3)
site_members=3           # of each group
site_slots=2             # statements at one member at a time
site_connections=64      # of each group
site_connect_ms=30       # a new connection to a member
site_service_us=1000     # a statement at a member
site_lag_ms=50           # from receiving to replaying, at a replica
# For scripts/demo: what the load generator does at each group.
site_load="updates:callers=6,reads=0.2,transactions=0.2,think_ms=40,target_ms=250"
site_load+=";draws:callers=8,reads=1,think_ms=60,staleness_ms=0,target_ms=500"
site_load+=";browsing:callers=24,reads=1,think_ms=20,staleness_ms=5000,target_ms=3000"
