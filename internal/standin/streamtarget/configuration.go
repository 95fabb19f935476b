package streamtarget

// Configuration is an operator's configuration with one service of stream targets, and routes to it whose streams may be resumed (/s/)
// or not (/u/), whose calls may run once only (/n/), and that take jobs (/b/).
const Configuration = `{"version":1,"routes":[
{"name":"s","host":"a.example","path_prefix":"/s/","route_kind":"streaming","timeout_ms":6000,"goal_ms":300,"service":"s","max_attempts":3,"resumable":true,"gap_target_ms":400},
{"name":"u","host":"a.example","path_prefix":"/u/","route_kind":"streaming","timeout_ms":6000,"goal_ms":300,"service":"s","max_attempts":3,"gap_target_ms":400},
{"name":"n","host":"a.example","path_prefix":"/n/","route_kind":"non_idempotent","timeout_ms":6000,"goal_ms":1000,"service":"s","max_attempts":3},
{"name":"b","host":"a.example","path_prefix":"/b/","route_kind":"batch","goal_ms":500,"service":"s","max_attempts":3,"run_target_ms":18000,"retention_s":600}],
"services":[{"name":"s","max_conns":64,"health_path":"/health"}],"limits":{"max_body_bytes":100000}}`
