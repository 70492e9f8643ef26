package org.tarragonlug;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against decisions that read a clock, start threads, do I/O or depend on libraries. */
@AnalyzeClasses(packages = "org.tarragonlug", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    private static final String[] PURE_PACKAGES = {
        "org.tarragonlug.decision..",
        "org.tarragonlug.id..",
        "java.lang",
        "java.lang.invoke",
        "java.lang.runtime",
        "java.util",
        "java.util.function",
        "java.util.stream",
        "java.util.random",
        "java.time",
        "java.math",
        "java.nio.charset"
    };

    @ArchTest
    static final ArchRule DECISIONS_DEPEND_ONLY_ON_JDK_AND_IDS =
            classes()
                    .that()
                    .resideInAPackage("org.tarragonlug.decision..")
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage(PURE_PACKAGES);

    @ArchTest
    static final ArchRule IDS_DEPEND_ONLY_ON_JDK =
            classes()
                    .that()
                    .resideInAPackage("org.tarragonlug.id..")
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage("org.tarragonlug.id..", "java..");

    /** The platform's names are decoded once; decisions and other edges know nothing of them. */
    @ArchTest
    static final ArchRule ONLY_GATEWAY_USES_PLATFORM_CONNECTOR =
            noClasses()
                    .that()
                    .resideOutsideOfPackages(
                            "org.tarragonlug.platform..", "org.tarragonlug.gateway..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage("org.tarragonlug.platform..");

    /** The adapter translates; whoever decides is a state machine of the decision packages. */
    @ArchTest
    static final ArchRule PLATFORM_CONNECTOR_RUNS_NO_STATE_MACHINE =
            noClasses()
                    .that()
                    .resideInAPackage("org.tarragonlug.platform..")
                    .should()
                    .dependOnClassesThat()
                    .areAssignableTo("org.tarragonlug.decision.StateMachine")
                    .orShould()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "org.tarragonlug.gateway..",
                            "org.tarragonlug.peer..",
                            "org.tarragonlug.caller..");

    /** Guards against names of the platform's wire in code that should not know them. */
    @Test
    void platformWireNamesAppearOnlyInPlatformConnector() throws IOException {
        Pattern names =
                Pattern.compile(
                        "[Tt]arragonlug-[A-Za-z]+-[A-Za-z]"
                                + "|/tarragonlug/(objects|order|report|ready)"
                                + "|kv_used|cold_remaining_ms|max_attempts|path_prefix");
        Path root = Path.of("src/main/java/org/tarragonlug");
        List<String> found = new ArrayList<>();
        try (Stream<Path> files = Files.walk(root)) {
            for (Path file : files.filter(each -> each.toString().endsWith(".java")).toList()) {
                boolean allowed =
                        file.startsWith(root.resolve("platform"))
                                || file.getFileName().toString().startsWith("Platform");
                if (!allowed && names.matcher(Files.readString(file)).find()) {
                    found.add(file.toString());
                }
            }
        }
        assertEquals(List.of(), found);
    }
}
