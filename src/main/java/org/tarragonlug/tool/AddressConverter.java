package org.tarragonlug.tool;

import java.net.InetSocketAddress;
import org.tarragonlug.runtime.Addresses;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Converts an argument of the command line to an address whose port is not 0. */
final class AddressConverter implements ITypeConverter<InetSocketAddress> {
    @Override
    public InetSocketAddress convert(String text) {
        return Addresses.parse(text)
                .filter(address -> address.getPort() != 0)
                .orElseThrow(
                        () ->
                                new TypeConversionException(
                                        "'"
                                                + text
                                                + "' is not of the form IP:port with a port from "
                                                + "1 to 65535"));
    }
}
