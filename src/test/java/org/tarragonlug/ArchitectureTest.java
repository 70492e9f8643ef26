package org.tarragonlug;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

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
    static final ArchRule DECISIONS_DEPEND_ON_JDK_AND_IDS_ALONE =
            classes()
                    .that()
                    .resideInAPackage("org.tarragonlug.decision..")
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage(PURE_PACKAGES);

    @ArchTest
    static final ArchRule IDS_DEPEND_ON_JDK_ALONE =
            classes()
                    .that()
                    .resideInAPackage("org.tarragonlug.id..")
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage("org.tarragonlug.id..", "java..");
}
