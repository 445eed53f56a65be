# time to maintain every instance once, against the least possible and one at a time
"$BUILD/cornelquay/cornelquay-bench" rollout "$SEED"
