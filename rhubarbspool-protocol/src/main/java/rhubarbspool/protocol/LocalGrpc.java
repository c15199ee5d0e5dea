package rhubarbspool.protocol;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class LocalGrpc {

  private LocalGrpc() {}

  public static final java.lang.String SERVICE_NAME = "rhubarbspool.protocol.Local";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<rhubarbspool.protocol.RouterReport,
      rhubarbspool.protocol.RouterOrders> getSynchroniseMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Synchronise",
      requestType = rhubarbspool.protocol.RouterReport.class,
      responseType = rhubarbspool.protocol.RouterOrders.class,
      methodType = io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
  public static io.grpc.MethodDescriptor<rhubarbspool.protocol.RouterReport,
      rhubarbspool.protocol.RouterOrders> getSynchroniseMethod() {
    io.grpc.MethodDescriptor<rhubarbspool.protocol.RouterReport, rhubarbspool.protocol.RouterOrders> getSynchroniseMethod;
    if ((getSynchroniseMethod = LocalGrpc.getSynchroniseMethod) == null) {
      synchronized (LocalGrpc.class) {
        if ((getSynchroniseMethod = LocalGrpc.getSynchroniseMethod) == null) {
          LocalGrpc.getSynchroniseMethod = getSynchroniseMethod =
              io.grpc.MethodDescriptor.<rhubarbspool.protocol.RouterReport, rhubarbspool.protocol.RouterOrders>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Synchronise"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  rhubarbspool.protocol.RouterReport.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  rhubarbspool.protocol.RouterOrders.getDefaultInstance()))
              .setSchemaDescriptor(new LocalMethodDescriptorSupplier("Synchronise"))
              .build();
        }
      }
    }
    return getSynchroniseMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static LocalStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<LocalStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<LocalStub>() {
        @java.lang.Override
        public LocalStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new LocalStub(channel, callOptions);
        }
      };
    return LocalStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static LocalBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<LocalBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<LocalBlockingV2Stub>() {
        @java.lang.Override
        public LocalBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new LocalBlockingV2Stub(channel, callOptions);
        }
      };
    return LocalBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static LocalBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<LocalBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<LocalBlockingStub>() {
        @java.lang.Override
        public LocalBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new LocalBlockingStub(channel, callOptions);
        }
      };
    return LocalBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static LocalFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<LocalFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<LocalFutureStub>() {
        @java.lang.Override
        public LocalFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new LocalFutureStub(channel, callOptions);
        }
      };
    return LocalFutureStub.newStub(factory, channel);
  }

  /**
   */
  public interface AsyncService {

    /**
     */
    default io.grpc.stub.StreamObserver<rhubarbspool.protocol.RouterReport> synchronise(
        io.grpc.stub.StreamObserver<rhubarbspool.protocol.RouterOrders> responseObserver) {
      return io.grpc.stub.ServerCalls.asyncUnimplementedStreamingCall(getSynchroniseMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Local.
   */
  public static abstract class LocalImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return LocalGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Local.
   */
  public static final class LocalStub
      extends io.grpc.stub.AbstractAsyncStub<LocalStub> {
    private LocalStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected LocalStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new LocalStub(channel, callOptions);
    }

    /**
     */
    public io.grpc.stub.StreamObserver<rhubarbspool.protocol.RouterReport> synchronise(
        io.grpc.stub.StreamObserver<rhubarbspool.protocol.RouterOrders> responseObserver) {
      return io.grpc.stub.ClientCalls.asyncBidiStreamingCall(
          getChannel().newCall(getSynchroniseMethod(), getCallOptions()), responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Local.
   */
  public static final class LocalBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<LocalBlockingV2Stub> {
    private LocalBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected LocalBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new LocalBlockingV2Stub(channel, callOptions);
    }

    /**
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<rhubarbspool.protocol.RouterReport, rhubarbspool.protocol.RouterOrders>
        synchronise() {
      return io.grpc.stub.ClientCalls.blockingBidiStreamingCall(
          getChannel(), getSynchroniseMethod(), getCallOptions());
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Local.
   */
  public static final class LocalBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<LocalBlockingStub> {
    private LocalBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected LocalBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new LocalBlockingStub(channel, callOptions);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Local.
   */
  public static final class LocalFutureStub
      extends io.grpc.stub.AbstractFutureStub<LocalFutureStub> {
    private LocalFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected LocalFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new LocalFutureStub(channel, callOptions);
    }
  }

  private static final int METHODID_SYNCHRONISE = 0;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final AsyncService serviceImpl;
    private final int methodId;

    MethodHandlers(AsyncService serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_SYNCHRONISE:
          return (io.grpc.stub.StreamObserver<Req>) serviceImpl.synchronise(
              (io.grpc.stub.StreamObserver<rhubarbspool.protocol.RouterOrders>) responseObserver);
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getSynchroniseMethod(),
          io.grpc.stub.ServerCalls.asyncBidiStreamingCall(
            new MethodHandlers<
              rhubarbspool.protocol.RouterReport,
              rhubarbspool.protocol.RouterOrders>(
                service, METHODID_SYNCHRONISE)))
        .build();
  }

  private static abstract class LocalBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    LocalBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return rhubarbspool.protocol.Rhubarbspool.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Local");
    }
  }

  private static final class LocalFileDescriptorSupplier
      extends LocalBaseDescriptorSupplier {
    LocalFileDescriptorSupplier() {}
  }

  private static final class LocalMethodDescriptorSupplier
      extends LocalBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    LocalMethodDescriptorSupplier(java.lang.String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (LocalGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new LocalFileDescriptorSupplier())
              .addMethod(getSynchroniseMethod())
              .build();
        }
      }
    }
    return result;
  }
}
