package clayhook.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Checks the rules of {@code docs/ARCHITECTURE.md} that the compiler does not enforce. */
@AnalyzeClasses(packages = "clayhook", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    /** Packages without I/O, threads and clocks; they receive times and random seeds as arguments. */
    private static final String[] PURE_PACKAGES = {
        "clayhook", "clayhook.inflight", "clayhook.statements..", "clayhook.fleet..", "clayhook.rollout.."
    };

    /** Packages of the serving path, which the sub-command {@code serve} loads. */
    private static final String[] SERVING_PACKAGES = {
        "clayhook.serve..",
        "clayhook.sharing..",
        "clayhook.json..",
        "clayhook.frontend..",
        "clayhook.backend..",
        "clayhook.discovery..",
        "clayhook.protocol..",
        "clayhook.sql..",
        "clayhook.transport..",
        "clayhook.log..",
        "clayhook.config..",
        "clayhook.warmup.."
    };

    @ArchTest
    static final ArchRule modulesDependOnLowerLayersOnly = layeredArchitecture()
            .consideringOnlyDependenciesInLayers()
            .layer("core")
            .definedBy("clayhook", "clayhook.inflight")
            .layer("statements")
            .definedBy("clayhook.statements..")
            .layer("fleet")
            .definedBy("clayhook.fleet..", "clayhook.rollout..")
            .layer("serving")
            .definedBy(SERVING_PACKAGES)
            .layer("peers")
            .definedBy("clayhook.peers..")
            .layer("simulator")
            .definedBy("clayhook.simulator..")
            .layer("lab")
            .definedBy("clayhook.lab..")
            .layer("cli")
            .definedBy("clayhook.cli..")
            .whereLayer("core")
            .mayNotAccessAnyLayer()
            .whereLayer("statements")
            .mayNotAccessAnyLayer()
            .whereLayer("fleet")
            .mayNotAccessAnyLayer()
            .whereLayer("serving")
            .mayOnlyAccessLayers("core", "statements", "peers")
            .whereLayer("peers")
            .mayOnlyAccessLayers("core", "serving", "fleet")
            .whereLayer("simulator")
            .mayOnlyAccessLayers("core", "serving")
            .whereLayer("lab")
            .mayOnlyAccessLayers("core", "statements", "fleet", "serving", "peers")
            .whereLayer("cli")
            .mayOnlyAccessLayers("core", "statements", "fleet", "serving", "peers", "simulator", "lab");

    @ArchTest
    static final ArchRule pureModulesUseNoNetwork = noClasses()
            .that()
            .resideInAnyPackage(PURE_PACKAGES)
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("io.netty..", "java.net..", "java.nio.channels..", "java.util.concurrent..");

    @ArchTest
    static final ArchRule pureModulesReadNoClock = noClasses()
            .that()
            .resideInAnyPackage(PURE_PACKAGES)
            .should()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .dependOnClassesThat()
            .haveFullyQualifiedName("java.time.Clock");

    @ArchTest
    static final ArchRule packagesFormNoCycles =
            slices().matching("clayhook.(**)").should().beFreeOfCycles();
}
