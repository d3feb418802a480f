package clayhook.cli;

import clayhook.config.ConfigurationException;

/** Where the program starts. */
public final class Main {
    static final int DONE = 0, FAILED = 1, WRONG = 2;

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
        if (exit != DONE) {
            System.exit(exit);
        }
    }

    static int wrong(ConfigurationException fault) {
        System.err.println("clayhook: " + fault.getMessage());
        return WRONG;
    }
}
