# processor time of one round of wave decisions over four sizes
"$BUILD/cornelquay/cornelquay-bench" decide "$SEED"
