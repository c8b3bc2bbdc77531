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
site_user=exposure       # for the line to try by hand
