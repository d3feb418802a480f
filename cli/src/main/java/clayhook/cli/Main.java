package clayhook.cli;

import clayhook.config.ConfigurationException;

/** The entry point of the program. */
public final class Main {
    static final int EXIT_SUCCESS = 0, EXIT_FAILURE = 1, EXIT_INVALID_USAGE = 2;

    private Main() {}

    public static void main(String[] args) {
        // The platform starts these sub-commands without options while clients wait for the router, so the classes that
        // parse options are not loaded.
        String subcommand = args.length == 1 ? args[0] : "";
        switch (subcommand) {
            case "serve" -> serve();
            case "adapter" -> System.exit(AdapterCommand.run());
            case "rehearse" -> System.exit(RehearseCommand.run());
            default -> System.exit(Commands.run(args));
        }
    }

    /** Serves until a signal ends the process; exits with a nonzero code if the router cannot start. */
    private static void serve() {
        int exitCode = ServeCommand.run(null);
        if (exitCode != EXIT_SUCCESS) {
            System.exit(exitCode);
        }
    }

    static int reportInvalidConfiguration(ConfigurationException exception) {
        System.err.println("clayhook: " + exception.getMessage());
        return EXIT_INVALID_USAGE;
    }
}
