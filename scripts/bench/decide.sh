# processor time of one round of wave decisions for four fleet sizes
"$BUILD/cornelquay/cornelquay-bench" decide "$SEED"
