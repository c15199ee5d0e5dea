#!/usr/bin/env bash
# Regenerates the committed Java sources from the proto file; the build doesn't run this script.
set -euo pipefail
cd "$(dirname "$0")"
repository="${HOME}/.m2/repository"
for artifact in com.google.protobuf:protoc:4.36.2:exe:linux-x86_64 io.grpc:protoc-gen-grpc-java:1.83.1:exe:linux-x86_64; do
  mvn -q -B dependency:get -Dartifact="$artifact"
done
work=$(mktemp -d)
cp "$repository/com/google/protobuf/protoc/4.36.2/protoc-4.36.2-linux-x86_64.exe" "$work/protoc"
cp "$repository/io/grpc/protoc-gen-grpc-java/1.83.1/protoc-gen-grpc-java-1.83.1-linux-x86_64.exe" "$work/protoc-gen-grpc-java"
chmod +x "$work"/*
rm -rf src/main/java/rhubarbspool
"$work/protoc" --plugin=protoc-gen-grpc-java="$work/protoc-gen-grpc-java" \
  --java_out=src/main/java --grpc-java_out=@generated=omit:src/main/java -Isrc/main/proto src/main/proto/rhubarbspool.proto
rm -rf "$work"
