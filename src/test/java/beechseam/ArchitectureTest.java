package beechseam;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption.DoNotIncludeTests;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Enforces the dependency rules of each package's package-info, such as a core without transport code. */
@AnalyzeClasses(packages = "beechseam", importOptions = DoNotIncludeTests.class)
class ArchitectureTest {
    @ArchTest
    static final ArchRule CORE_IS_INDEPENDENT_OF_TRANSPORT = classes()
            .that()
            .resideInAPackage("beechseam.core")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("beechseam.dispatch", "beechseam.core", "java.lang..", "java.util..");

    @ArchTest
    static final ArchRule DISPATCH_DEPENDS_ON_NO_OTHER_PACKAGE = classes()
            .that()
            .resideInAPackage("beechseam.dispatch")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("beechseam.dispatch", "java.lang..", "java.util..");

    @ArchTest
    static final ArchRule GEARMAN_QUEUE_IS_FREE_OF_IO = classes()
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
    static final ArchRule GEARMAN_PROTOCOL_IS_INDEPENDENT_OF_SOCKETS = classes()
            .that()
            .resideInAPackage("beechseam.gearman.protocol")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("beechseam.gearman.protocol", "java.lang..", "java.util..", "java.nio..");

    @ArchTest
    static final ArchRule LIBRARY_IS_INDEPENDENT_OF_FRONT_ENDS = noClasses()
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
    static final ArchRule MIDDLEWARE_USES_ONLY_THE_LIBRARY = noClasses()
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
    static final ArchRule CONFORMANCE_SUITE_IS_INDEPENDENT_OF_THE_SERVER = noClasses()
            .that()
            .resideInAPackage("beechseam.conformance")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "beechseam.gearman", "beechseam.gearman.queue", "beechseam.core..", "beechseam.config..");

    @ArchTest
    static final ArchRule PACKAGES_ARE_FREE_OF_CYCLES =
            slices().matching("beechseam.(*)..").should().beFreeOfCycles();
}
