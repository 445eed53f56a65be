# time to ready and bytes read from the log alone, as the state grows
"$BUILD/cornelquay/cornelquay-bench" recovery "$SEED"
