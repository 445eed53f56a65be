# placement time, recovery time and memory of the owner of all jobs, for four sizes
"$BUILD/libs/scheduling/scheduling-bench"
