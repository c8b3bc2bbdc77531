# Parameters of the site; read by scripts/site.
site_environment=production
site_zones=(waikato-a waikato-b waikato-c)
site_groups=(tickets1 tickets2 tickets3)
site_members=3           # of each group
site_slots=2             # statements at one member at a time
site_connections=36      # of each group
site_connect_ms=10       # a new connection to a member
site_service_us=1000     # a statement at a member
site_lag_ms=50           # from receiving to replaying, at a replica
# For scripts/demo: what the load generator does at each group.
site_load="confirmations:callers=6,reads=0.2,transactions=0.2,think_ms=40,target_ms=250"
site_load+=";status:callers=12,reads=1,think_ms=40,staleness_ms=1000,target_ms=500"
site_load+=";browsing:callers=12,reads=1,think_ms=20,target_ms=3000"
