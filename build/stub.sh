#!/bin/sh
exec java $TARRAGONLUG_JAVA_OPTIONS -jar "$0" "$@"
