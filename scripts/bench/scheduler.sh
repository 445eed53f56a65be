# placing, recovery and memory of the owner of all jobs over four sizes
"$BUILD/libs/scheduling/scheduling-bench"
