from hookpitch.cli import main

main()
