# time to maintain every instance once, compared with the minimum possible and with one at a time
"$BUILD/cornelquay/cornelquay-bench" rollout "$SEED"
