# cost of folding one record, by kind, at design size
"$BUILD/cornelquay/cornelquay-bench" fold "$SEED"
