package clayhook.cli;

import clayhook.config.ConfigurationException;

/** Where the program starts. */
public final class Main {
    static final int EXIT_SUCCESS = 0, EXIT_FAILURE = 1, EXIT_INVALID_USAGE = 2;

    private Main() {}

    public static void main(String[] args) {
        // The platform's own calls have no options, and clients wait for a start: nothing that reads options is loaded.
        String call = args.length == 1 ? args[0] : "";
        switch (call) {
            case "serve" -> serve();
            case "adapter" -> System.exit(AdapterCommand.run());
            case "rehearse" -> System.exit(RehearseCommand.run());
            default -> System.exit(Commands.run(args));
        }
    }

    /** Ends only by a signal, or where it cannot start. */
    private static void serve() {
        int exit = ServeCommand.run(null);
        if (exit != EXIT_SUCCESS) {
            System.exit(exit);
        }
    }

    static int reportInvalidConfiguration(ConfigurationException fault) {
        System.err.println("clayhook: " + fault.getMessage());
        return EXIT_INVALID_USAGE;
    }
}
