package frostreel.lab;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.belongToAnyOf;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import frostreel.simulator.WireAdapter;
import java.time.Clock;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/** The allowed dependencies between packages, beyond those that the build's modules enforce. */
class LayersTest {
    /** All packages of decisions, except for the simulator's adapter, which reads and writes streams for them. */
    private static final DescribedPredicate<JavaClass> DECISIONS = resideInAnyPackage(
                    "frostreel.routing..",
                    "frostreel.simulator..",
                    "frostreel.wire..",
                    "frostreel.operation..",
                    "frostreel.zones..")
            .and(DescribedPredicate.not(belongToAnyOf(WireAdapter.class)));

    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("frostreel");

    /** Decisions depend on their events alone. */
    private static Stream<ArchRule> decisionRules() {
        return Stream.of(
                noClasses()
                        .that(DECISIONS)
                        .should()
                        .dependOnClassesThat(resideInAnyPackage(
                                        "java.io..",
                                        "java.net..",
                                        "java.nio..",
                                        "java.util.logging..",
                                        "java.util.concurrent..",
                                        "org.xnio..",
                                        "org.jboss..")
                                .or(belongToAnyOf(Thread.class, Clock.class, Runtime.class)))
                        .because("equal events must give equal actions"),
                noClasses()
                        .that(DECISIONS)
                        .should()
                        .callMethod(System.class, "nanoTime")
                        .orShould()
                        .callMethod(System.class, "currentTimeMillis")
                        .orShould()
                        .callMethod(Math.class, "random")
                        .orShould()
                        .dependOnClassesThat(belongToAnyOf(ThreadLocalRandom.class))
                        .because("time and seed are handed in"));
    }

    /** The broker and the protocol know no sockets. */
    private static Stream<ArchRule> protocolRules() {
        return Stream.of(
                noClasses()
                        .that()
                        .resideInAPackage("frostreel.broker..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "frostreel.pg..",
                                "frostreel.net..",
                                "frostreel.frontend..",
                                "frostreel.backend..",
                                "org.xnio..",
                                "java.net..")
                        .because("the broker knows no protocol"),
                noClasses()
                        .that()
                        .resideInAPackage("frostreel.pg..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "org.xnio..",
                                "java.net..",
                                "java.nio.channels..",
                                "frostreel.broker..",
                                "frostreel.net..",
                                "frostreel.frontend..",
                                "frostreel.backend..")
                        .because("a parser has no sockets, and knows no broker"));
    }

    /** Optional parts, of which serving loads nothing. */
    private static Stream<ArchRule> optionalRules() {
        return Stream.of(
                noClasses()
                        .that()
                        .resideOutsideOfPackages("frostreel.cli..", "frostreel.lab..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAPackage("picocli..")
                        .because("serving does not pay for the command line"),
                noClasses()
                        .that()
                        .resideOutsideOfPackages("frostreel.cluster.jgroups..", "org.jgroups..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAPackage("org.jgroups..")
                        .because("the library stands behind one narrow interface"),
                noClasses()
                        .that()
                        .resideOutsideOfPackages("frostreel.lab..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAPackage("frostreel.lab..")
                        .because("the lab is not on the serving class path"));
    }

    /** Packages that all others use depend on none of them. */
    private static Stream<ArchRule> foundationRules() {
        return Stream.of("frostreel.time..", "frostreel.util..")
                .map(foundation -> noClasses()
                        .that()
                        .resideInAPackage(foundation)
                        .should()
                        .dependOnClassesThat(resideInAPackage("frostreel..")
                                .and(DescribedPredicate.not(resideInAPackage(foundation))))
                        .because("every package may use it"));
    }

    private static Stream<ArchRule> socketRules() {
        return Stream.of(
                noClasses()
                        .that()
                        .resideInAPackage("frostreel.net..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage("frostreel.frontend..", "frostreel.backend..", "frostreel.pg..")
                        .because("the event loop and its streams know no protocol"),
                noClasses()
                        .that()
                        .resideInAPackage("frostreel.request..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "frostreel.broker..",
                                "frostreel.net..",
                                "frostreel.frontend..",
                                "frostreel.backend..",
                                "frostreel.pg..")
                        .because("what the sides tell each other of a request belongs to none of them"),
                noClasses()
                        .that()
                        .resideInAPackage("frostreel.frontend..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAPackage("frostreel.backend..")
                        .because("clients and servers meet in the broker alone"),
                noClasses()
                        .that()
                        .resideInAPackage("frostreel.backend..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAPackage("frostreel.frontend..")
                        .because("clients and servers meet in the broker alone"));
    }

    @Test
    void everyPackageIsListedAsServingOrOptional() {
        Set<String> packages = ALL.stream()
                .map(JavaClass::getPackageName)
                .filter(name -> !name.startsWith("frostreel.lab"))
                .collect(Collectors.toCollection(TreeSet::new));
        assertThat(packages)
                .as("a new package is listed in Packages, so that the guard knows of it")
                .containsExactlyInAnyOrderElementsOf(
                        Stream.concat(Packages.SERVING.stream(), Packages.OPTIONAL.stream())
                                .toList());
    }

    @TestFactory
    Stream<DynamicTest> layersHold() {
        return Stream.of(decisionRules(), protocolRules(), optionalRules(), foundationRules(), socketRules())
                .flatMap(rules -> rules)
                .map(rule -> DynamicTest.dynamicTest(rule.getDescription(), () -> rule.check(ALL)));
    }
}
