# Completion of cornelquay's commands and options for bash.
_cornelquay() {
    local word=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD - 1]}
    case $previous in
    config) COMPREPLY=($(compgen -W "check diff apply show history" -- "$word")) ;;
    key) COMPREPLY=($(compgen -W "grant withdraw list" -- "$word")) ;;
    maintenance) COMPREPLY=($(compgen -W "start pause resume skip" -- "$word")) ;;
    check | diff | apply | --token-file | --tls-trust | --job) COMPREPLY=($(compgen -f -- "$word")) ;;
    --output) COMPREPLY=($(compgen -W "text json" -- "$word")) ;;
    *)
        COMPREPLY=($(compgen -W "status teams services pools instances maintenance config key audit why explain --node --token-file \
            --tls-trust --reason --account --queue --job --json --output --base-version --dry-run --help --version" -- "$word"))
        ;;
    esac
}
complete -F _cornelquay cornelquay
