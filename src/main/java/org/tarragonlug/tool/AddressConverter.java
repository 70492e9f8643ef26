package org.tarragonlug.tool;

import java.net.InetSocketAddress;
import org.tarragonlug.runtime.Addresses;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Reads an address of the command line. */
final class AddressConverter implements ITypeConverter<InetSocketAddress> {
    @Override
    public InetSocketAddress convert(String text) {
        return Addresses.parse(text)
                .filter(address -> address.getPort() != 0)
                .orElseThrow(
                        () ->
                                new TypeConversionException(
                                        "'" + text + "' is not of the form IP:port"));
    }
}
