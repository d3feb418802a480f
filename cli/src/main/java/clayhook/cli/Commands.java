package clayhook.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The top-level command, which declares all sub-commands; prints the usage when called without one. */
@Command(
        name = "clayhook",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        description = "Routes reads and writes in replicated databases.",
        subcommands = {
            ServeCommand.class,
            TryCommand.class,
            ClassifyCommand.class,
            LabCommand.class,
            PlanCommand.class,
            AdapterCommand.class,
            RehearseCommand.class
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:done", "1:failed", "2:wrong use or a faulty configuration"})
final class Commands implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Commands.class.getPackage().getImplementationVersion();
            return new String[] {"clayhook " + (version == null ? "of an unpacked build" : version)};
        }
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(System.err);
        return Main.EXIT_INVALID_USAGE;
    }

    static int run(String[] args) {
        return new CommandLine(new Commands())
                .setExecutionExceptionHandler((exception, commandLine, parseResult) -> {
                    System.err.println(
                            "clayhook: " + (exception.getMessage() == null ? exception : exception.getMessage()));
                    return Main.EXIT_FAILURE;
                })
                .execute(args);
    }
}
