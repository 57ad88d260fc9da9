package beechseam;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption.DoNotIncludeTests;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** What each package may use, as its package-info says; a wire that is imported into the core fails here. */
@AnalyzeClasses(packages = "beechseam", importOptions = DoNotIncludeTests.class)
class ArchitectureTest {
    @ArchTest
    static final ArchRule CORE_KNOWS_NO_WIRE = classes()
            .that()
            .resideInAPackage("beechseam.core")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("beechseam.dispatch", "beechseam.core", "java.lang..", "java.util..");

    @ArchTest
    static final ArchRule THE_MODULE_IS_BY_ITSELF = classes()
            .that()
            .resideInAPackage("beechseam.dispatch")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("beechseam.dispatch", "java.lang..", "java.util..");

    @ArchTest
    static final ArchRule WHAT_GEARMAN_DECIDES_IS_FREE_OF_IO = classes()
            .that()
            .resideInAPackage("beechseam.gearman.queue")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("beechseam.gearman.queue", "java.lang..", "java.util..", "java.time..");

    @ArchTest
    static final ArchRule MEMBERSHIP_IS_FREE_OF_IO = classes()
            .that()
            .resideInAPackage("beechseam.fleet.membership")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("beechseam.fleet.membership", "java.lang..", "java.util..");

    @ArchTest
    static final ArchRule THE_PROTOCOL_KNOWS_NO_SOCKET = classes()
            .that()
            .resideInAPackage("beechseam.gearman.protocol")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("beechseam.gearman.protocol", "java.lang..", "java.util..", "java.nio..");

    @ArchTest
    static final ArchRule THE_LIBRARY_KNOWS_NO_FRONT = noClasses()
            .that()
            .resideInAPackage("beechseam.library")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "beechseam.platform..",
                    "beechseam.gearman..",
                    "beechseam.http..",
                    "beechseam.cli..",
                    "beechseam.config..",
                    "jakarta..",
                    "org..",
                    "com..");

    @ArchTest
    static final ArchRule MIDDLEWARE_USES_THE_LIBRARY_ALONE = noClasses()
            .that()
            .resideInAnyPackage("beechseam.servlet", "beechseam.spring")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "beechseam.dispatch",
                    "beechseam.core..",
                    "beechseam.net..",
                    "beechseam.platform..",
                    "beechseam.gearman..");

    @ArchTest
    static final ArchRule THE_SUITE_KNOWS_NOTHING_OF_OUR_SERVER = noClasses()
            .that()
            .resideInAPackage("beechseam.conformance")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "beechseam.gearman", "beechseam.gearman.queue", "beechseam.core..", "beechseam.config..");

    @ArchTest
    static final ArchRule NOTHING_RUNS_IN_CIRCLES =
            slices().matching("beechseam.(*)..").should().beFreeOfCycles();
}
